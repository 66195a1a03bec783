package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.streamring.cli.OperatorMain;
import org.streamring.fleet.Fleet;
import org.streamring.standin.platform.PlatformFaults;
import org.streamring.standin.platform.PlatformStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OperatorCommandTest {
    private static final String EXAMPLE =
            Fleet.root().resolve("examples/sebeta.toml").toString();

    private PlatformStandin platform;
    private String output;

    @BeforeMethod
    public void startPlatform() {
        platform = new PlatformStandin(0, Fleet.PLATFORM_KEY, Fleet.OPERATOR_KEY);
    }

    @AfterMethod(alwaysRun = true)
    public void stopPlatform() {
        platform.close();
    }

    private int run(String... words) {
        return runWithKey(Fleet.OPERATOR_KEY, words);
    }

    private int runWithKey(String key, String... words) {
        List<String> arguments = new ArrayList<>(List.of(words));
        arguments.addAll(List.of("--platform", platform.url(), "--operator-key", key, "--author", "tester"));
        PrintStream originalOut = System.out;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setOut(new PrintStream(ownOutput(captured, originalOut), true, StandardCharsets.UTF_8));
        try {
            return OperatorMain.run(arguments.toArray(String[]::new));
        } finally {
            System.setOut(originalOut);
            output = captured.toString(StandardCharsets.UTF_8);
        }
    }

    /** Returns a stream that captures what this thread writes; other tests run at the same time. */
    private static OutputStream ownOutput(OutputStream captured, OutputStream others) {
        Thread own = Thread.currentThread();
        return new OutputStream() {
            @Override
            public void write(int next) throws IOException {
                (Thread.currentThread() == own ? captured : others).write(next);
            }
        };
    }

    @Test
    public void declarationsAreAppliedOnceAndAudited() {
        assertThat(run("apply", "--expect-version", "0", EXAMPLE)).isZero();
        assertThat(output).contains("version 1");
        assertThat(run("apply", EXAMPLE)).isZero();
        assertThat(output).contains("nothing to change");
        assertThat(run("audit", "--output", "json")).isZero();
        assertThat(output).contains("tester", "0 -> 1");
    }

    @Test
    public void aVersionOtherThanExpectedIsAConflict() {
        run("apply", EXAMPLE);
        assertThat(run("apply", "--expect-version", "7", EXAMPLE)).isEqualTo(3);
    }

    @Test
    public void budgetsAreShownAndToppedUp() {
        run("apply", EXAMPLE);
        assertThat(run("budget", "top-up", "--budget", "trial", "--tokens", "50"))
                .isZero();
        assertThat(run("budget", "show", "trial", "--output", "json")).isZero();
        assertThat(output).contains("\"granted\" : \"150\"", "\"remaining\" : \"150\"");
        assertThat(run("budget", "top-up", "--budget", "none", "--tokens", "50"))
                .isEqualTo(5);
        assertThat(run("budget", "top-up", "--budget", "trial", "--tokens", "-500"))
                .as("removing more tokens than remain")
                .isEqualTo(5);
    }

    @DataProvider
    public Object[][] badInput() throws IOException {
        Path bad = Files.createTempFile("bad", ".toml");
        Files.writeString(bad, "[policies.p]\nadmit = \"colour == 1\"\n");
        return new Object[][] {
            {new String[] {"check", bad.toString()}},
            {new String[] {"check", "no-such-file.toml"}},
            {new String[] {"no-such-command"}},
            {new String[] {"budget", "top-up", "--tokens", "5"}},
            {new String[] {"budget", "top-up", "--budget", "trial", "--tokens", "many"}},
        };
    }

    @Test(dataProvider = "badInput")
    public void badInputIsReportedByItsExitCode(String... words) {
        assertThat(run(words)).isEqualTo(2);
    }

    @DataProvider
    public Object[][] commands() {
        return new Object[][] {
            {List.of("apply"), "--expect-version"},
            {List.of("budget", "top-up"), "--tokens"},
            {List.of("audit"), "--after"},
        };
    }

    @Test(dataProvider = "commands")
    public void everyCommandHasHelp(List<String> command, String option) {
        List<String> words = new ArrayList<>(command);
        words.add("--help");
        assertThat(run(words.toArray(String[]::new))).isZero();
        assertThat(output).contains(option);
    }

    @DataProvider
    public Object[][] samples() {
        return new Object[][] {
            {"unchanged samples", "", "", 0},
            {"rank other than expected", "expect_rank = 9", "expect_rank = 3", 5},
            {"admitted although a refusal is expected", "prompt_tokens = 5000", "prompt_tokens = 50", 5},
            {"first candidate other than expected", "load = 0.30", "load = 0.40", 5},
            {"unknown account", "account = \"alarm-tagger\"", "account = \"nobody\"", 2},
            {"unknown service", "service = \"assist-llm\"", "service = \"nothing\"", 2},
            {"unknown key", "answer_tokens = 20", "answer_token = 20", 2},
            {"negative size", "answer_tokens = 20", "answer_tokens = -1", 2},
            {"no sample request", "[[requests]]", "[[candidates]]", 2},
            {"invalid TOML", "[[requests]]", "[[requests", 2},
        };
    }

    @Test(dataProvider = "samples")
    public void policiesAreEvaluatedOnSamples(String name, String text, String replacement, int exitCode)
            throws IOException {
        String shipped = Files.readString(Fleet.root().resolve("examples/sebeta-samples.toml"));
        Path file = Files.createTempFile("samples", ".toml");
        Files.writeString(file, shipped.replace(text, replacement));
        platform.setFaults(new PlatformFaults(true, 0, 0, false, 0));
        assertThat(run("policy", "test", "--samples", file.toString(), EXAMPLE))
                .as(name)
                .isEqualTo(exitCode);
    }

    @Test
    public void anAccountIsShownWithItsBudget() {
        run("apply", EXAMPLE);
        assertThat(run("account", "show", "trial-user", "--output", "json")).isZero();
        assertThat(output).contains("\"budget\" : \"trial\"", "\"remaining\" : \"100\"", "\"requests\" : \"0\"");
        assertThat(run("account", "show", "nobody")).isEqualTo(5);
    }

    @Test
    public void aNewKeyIsPrintedWithItsHash() throws Exception {
        assertThat(run("account", "new-key", "--output", "json")).isZero();
        JsonNode created = new JsonMapper().readTree(output).get(0);
        byte[] hash = MessageDigest.getInstance("SHA-256")
                .digest(created.get("key").asText().getBytes(StandardCharsets.UTF_8));
        assertThat(created.get("key_sha256").asText()).isEqualTo(HexFormat.of().formatHex(hash));
    }

    @Test
    public void theAccessKeyOfTheFleetMayNotChangeTheConfiguration() {
        assertThat(runWithKey(Fleet.PLATFORM_KEY, "apply", EXAMPLE)).isEqualTo(4);
        assertThat(run("status", "--output", "json")).isZero();
        assertThat(output).contains("\"version\" : \"0\"");
    }

    @Test
    public void anUnreachablePlatformIsReportedByItsExitCode() {
        platform.setFaults(new PlatformFaults(true, 0, 0, false, 0));
        assertThat(run("status")).isEqualTo(4);
    }
}
