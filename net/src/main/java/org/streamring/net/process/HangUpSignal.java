package org.streamring.net.process;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handles the HUP signal instead of letting it end the process.
 *
 * <p>Uses reflection, since the compiler warns about any direct use of the JDK's signal class.
 */
public final class HangUpSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangUpSignal() {}

    /**
     * Installs a callback that runs for each signal, on a thread of the JDK.
     *
     * @return false if the JDK does not provide signal handling
     */
    public static boolean listen(Runnable onSignal) {
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object signal = signalClass.getConstructor(String.class).newInstance("HUP");
            Object handler = Proxy.newProxyInstance(
                    HangUpSignal.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            onSignal.run();
                        }
                        return null;
                    });
            Method handle = signalClass.getMethod("handle", signalClass, handlerClass);
            handle.invoke(null, signal, handler);
            return true;
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            return false;
        }
    }
}
