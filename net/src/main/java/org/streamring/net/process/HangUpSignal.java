package org.streamring.net.process;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Lets a process outlive the signal HUP, and tells it of it.
 *
 * <p>The JDK's class for signals is reached by reflection, as the compiler refuses a direct use without a warning.
 */
public final class HangUpSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangUpSignal() {}

    /**
     * Calls back on each signal, on a thread of the JDK's.
     *
     * @return false if this JDK gives no access to signals
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
