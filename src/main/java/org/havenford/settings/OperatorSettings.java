package org.havenford.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.Node;
import org.xml.sax.SAXException;

/** What operators may set beyond the platform's file, in XML. See docs/operations.md. */
public record OperatorSettings(
        double stragglerThreshold,
        int stragglerMinimumDone,
        Duration membershipLease,
        Duration roundBudget,
        Duration idleBeforeReturn,
        double spareShare,
        Duration silentBeforeReturn,
        SpeedFirst speedFirst,
        StandbySettings standby) {

    public static final OperatorSettings DEFAULTS = new Builder().build();

    /** A setting that can't be used; the text names the element. */
    public static final class InvalidSettingException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSettingException(String message) {
            super(message);
        }
    }

    /** Where machines are rented for all work at once and returned late. */
    public enum SpeedFirst {
        /** In deployments where no team has a guarantee or a limit: nobody there counts what is used. */
        UNMETERED,
        ALWAYS,
        NEVER
    }

    /** Whether money matters less than speed on this deployment. */
    public boolean speedFirst(PlatformSettings settings) {
        return switch (speedFirst) {
            case ALWAYS -> true;
            case NEVER -> false;
            case UNMETERED ->
                settings.teams().values().stream()
                        .noneMatch(team -> team.limited() || team.cpus() > 0 || team.gpus() > 0);
        };
    }

    /** Reads and checks operators' settings. */
    public static OperatorSettings read(Path file) throws IOException, InvalidSettingException {
        Element root;
        try {
            DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
            factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            var builder = factory.newDocumentBuilder();
            builder.setErrorHandler(null);
            root = builder.parse(file.toFile()).getDocumentElement();
        } catch (SAXException e) {
            throw new InvalidSettingException("not well-formed XML: " + e.getMessage());
        } catch (ParserConfigurationException e) {
            throw new IllegalStateException(e);
        }
        if (!root.getTagName().equals("havenford")) {
            throw new InvalidSettingException("<" + root.getTagName() + ">: the root element must be <havenford>");
        }
        Builder builder = new Builder();
        for (Node n = root.getFirstChild(); n != null; n = n.getNextSibling()) {
            if (n instanceof Element e) {
                builder.set(e.getTagName(), e.getTextContent().strip());
            }
        }
        OperatorSettings operatorSettings = builder.build();
        if (!operatorSettings.standby().isConsistent()) {
            throw new InvalidSettingException("<standby-suspect-ms> must be more than twice <standby-heartbeat-ms>");
        }
        return operatorSettings;
    }

    /** Settings while they are read, with the defaults of those that are not named. */
    private static final class Builder {
        private double lateThreshold = 0.75;
        private int lateMinimumDone = 10;
        private Duration membershipLease = Duration.ofSeconds(8);
        private Duration roundBudget = Duration.ofMillis(20);
        private Duration idleBeforeReturn = Duration.ofSeconds(20);
        private double spareShare = 0.15;
        private Duration silentBeforeReturn = Duration.ofSeconds(30);
        private SpeedFirst speedFirst = SpeedFirst.UNMETERED;
        private StandbySettings standby = StandbySettings.OFF;

        /** Unknown elements are ignored, as unknown fields are elsewhere. */
        void set(String name, String text) throws InvalidSettingException {
            switch (name) {
                case "late-threshold" -> lateThreshold = number(name, text, 0.5, 0.999);
                case "late-minimum-done" -> lateMinimumDone = (int) number(name, text, 1, 100_000);
                case "membership-lease-s" -> membershipLease = seconds(name, text, 2, 60);
                case "round-budget-ms" -> roundBudget = millis(name, text, 1, 1000);
                case "idle-before-return-s" -> idleBeforeReturn = seconds(name, text, 0, 86_400);
                case "spare-share" -> spareShare = number(name, text, 0, 10);
                case "silent-before-return-s" -> silentBeforeReturn = seconds(name, text, 5, 3600);
                case "speed-first" -> speedFirst = speedFirst(name, text);
                case "standby" -> standby = standby.enabled(onOrOff(name, text));
                case "standby-heartbeat-ms" -> standby = standby.withHeartbeat(millis(name, text, 50, 2000));
                case "standby-suspect-ms" -> standby = standby.withSuspectAfter(millis(name, text, 200, 10_000));
                case "standby-challenge-ms" -> standby = standby.withProbeWindow(millis(name, text, 100, 5000));
                case "standby-buffer-kb" ->
                    standby = standby.withBufferBytes(((int) number(name, text, 64, 16_384)) * 1024);
                default -> {
                    // A newer version may know it.
                }
            }
        }

        OperatorSettings build() {
            return new OperatorSettings(
                    lateThreshold,
                    lateMinimumDone,
                    membershipLease,
                    roundBudget,
                    idleBeforeReturn,
                    spareShare,
                    silentBeforeReturn,
                    speedFirst,
                    standby);
        }
    }

    private static Duration seconds(String name, String text, double least, double most)
            throws InvalidSettingException {
        return Duration.ofMillis((long) (number(name, text, least, most) * 1000));
    }

    private static Duration millis(String name, String text, double least, double most) throws InvalidSettingException {
        return Duration.ofNanos((long) (number(name, text, least, most) * 1_000_000));
    }

    private static boolean onOrOff(String name, String text) throws InvalidSettingException {
        if (text.equals("on") || text.equals("off")) {
            return text.equals("on");
        }
        throw new InvalidSettingException("<" + name + ">: '" + text + "' is neither on nor off");
    }

    private static SpeedFirst speedFirst(String name, String text) throws InvalidSettingException {
        for (SpeedFirst s : SpeedFirst.values()) {
            if (s.name().toLowerCase(Locale.ROOT).equals(text)) {
                return s;
            }
        }
        throw new InvalidSettingException("<" + name + ">: '" + text + "' is none of unmetered, always, never");
    }

    private static double number(String name, String text, double least, double most) throws InvalidSettingException {
        try {
            double d = Double.parseDouble(text);
            if (d >= least && d <= most) {
                return d;
            }
        } catch (NumberFormatException e) {
            // told below, together with what would be allowed
        }
        throw new InvalidSettingException(
                "<" + name + ">: '" + text + "' is not a number from " + least + " to " + most);
    }
}
