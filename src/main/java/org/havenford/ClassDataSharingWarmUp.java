package org.havenford;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Enumeration;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;

/**
 * Warm-up run for the class-data-sharing archive: starts a controller without a deployment during the build and loads
 * the classes that a start needs, so that the JVM can archive them. The controller uses its own address as the state
 * service and the cloud, so every such call is answered with 404.
 */
final class ClassDataSharingWarmUp {
    private ClassDataSharingWarmUp() {}

    static int run() {
        try {
            String ownAddress = "127.0.0.1:" + freePort();
            Main.serve(
                    PlatformSettings.parse("{\"node_name\":\"rehearsal\",\"location\":\"a\",\"bind\":\"" + ownAddress
                            + "\",\"cluster_listen\":\"127.0.0.1:" + freePort() + "\",\"endpoints\":{\"cloud\":\""
                            + ownAddress
                            + "\",\"state\":\"" + ownAddress
                            + "\"},\"deployment\":{\"workers\":{\"report_s\":3,\"lease_s\":20,\"cancel_s\":40},"
                            + "\"state\":{\"rps\":100,\"write_rps\":50,\"value_kb\":8,\"txn_ops\":12},"
                            + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}"),
                    OperatorSettings.DEFAULTS);
            loadApplicationClasses();
            Thread.sleep(1500);
            return 0;
        } catch (IOException | MalformedMessageException | ReflectiveOperationException e) {
            System.err.println("havenford: warm-up run failed: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static void loadApplicationClasses() throws IOException, ClassNotFoundException {
        String jarPath = ClassDataSharingWarmUp.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath();
        if (!jarPath.endsWith(".jar")) {
            return;
        }
        try (JarFile jarFile = new JarFile(jarPath)) {
            for (Enumeration<JarEntry> entries = jarFile.entries(); entries.hasMoreElements(); ) {
                String name = entries.nextElement().getName();
                if (name.startsWith("org/havenford/") && name.endsWith(".class")) {
                    Class.forName(
                            name.substring(0, name.length() - ".class".length()).replace('/', '.'));
                }
            }
        }
    }
}
