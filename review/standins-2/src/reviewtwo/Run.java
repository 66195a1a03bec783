package reviewtwo;

/** Runs a case; ends with 2 if it could not run. */
public final class Run {
    private static final long MOST_MILLIS = 115_000;

    private Run() {}

    /** Arguments: name of the case, root of the repository, folder of the case. */
    public static void main(String[] arguments) {
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(MOST_MILLIS);
                System.out.println("could not run in time");
                System.exit(2);
            } catch (InterruptedException e) {
                // The case has ended.
            }
        });
        limit.setDaemon(true);
        limit.start();
        String[] folders = {arguments[1], arguments[2]};
        try {
            switch (arguments[0]) {
                case "SpotStreams" -> SpotStreams.main(folders);
                case "DrillAfterKill" -> DrillAfterKill.main(folders);
                case "CrashAfterLeave" -> CrashAfterLeave.main(folders);
                case "ColdUnheard" -> ColdUnheard.main(folders);
                case "Stutter" -> Stutter.main(folders);
                default -> throw new IllegalArgumentException(arguments[0]);
            }
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            System.exit(2);
        }
    }
}
