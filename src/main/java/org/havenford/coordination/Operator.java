package org.havenford.coordination;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.havenford.protocol.Settings;
import org.w3c.dom.Element;
import org.w3c.dom.Node;
import org.xml.sax.SAXException;

/** What operators may set beyond the platform's file, in XML. See docs/operations.md. */
public record Operator(
        double lateThreshold,
        int lateMinimumDone,
        Duration membershipLease,
        Duration roundBudget,
        Duration idleBeforeReturn,
        double spareShare,
        Duration silentBeforeReturn,
        SpeedFirst speedFirst) {

    public static final Operator DEFAULTS = new Operator(
            0.75,
            10,
            Duration.ofSeconds(8),
            Duration.ofMillis(20),
            Duration.ofSeconds(20),
            0.15,
            Duration.ofSeconds(30),
            SpeedFirst.UNMETERED);

    /** A setting that can't be used; the text names the element. */
    public static final class BadSetting extends Exception {
        private static final long serialVersionUID = 1L;

        BadSetting(String message) {
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
    public boolean speedFirst(Settings settings) {
        return switch (speedFirst) {
            case ALWAYS -> true;
            case NEVER -> false;
            case UNMETERED ->
                settings.teams().values().stream().noneMatch(t -> t.limited() || t.cpus() > 0 || t.cards() > 0);
        };
    }

    /** Reads and checks operators' settings. */
    public static Operator read(Path file) throws IOException, BadSetting {
        Element root;
        try {
            DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
            factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            var builder = factory.newDocumentBuilder();
            builder.setErrorHandler(null);
            root = builder.parse(file.toFile()).getDocumentElement();
        } catch (SAXException e) {
            throw new BadSetting("not well-formed XML: " + e.getMessage());
        } catch (ParserConfigurationException e) {
            throw new IllegalStateException(e);
        }
        if (!root.getTagName().equals("havenford")) {
            throw new BadSetting("<" + root.getTagName() + ">: the root element must be <havenford>");
        }
        Operator o = DEFAULTS;
        for (Node n = root.getFirstChild(); n != null; n = n.getNextSibling()) {
            if (n instanceof Element e) {
                o = o.with(e.getTagName(), e.getTextContent().strip());
            }
        }
        return o;
    }

    /** Unknown elements are ignored, as unknown fields are elsewhere. */
    private Operator with(String name, String text) throws BadSetting {
        return switch (name) {
            case "late-threshold" ->
                new Operator(
                        number(name, text, 0.5, 0.999),
                        lateMinimumDone,
                        membershipLease,
                        roundBudget,
                        idleBeforeReturn,
                        spareShare,
                        silentBeforeReturn,
                        speedFirst);
            case "late-minimum-done" ->
                new Operator(
                        lateThreshold,
                        (int) number(name, text, 1, 100_000),
                        membershipLease,
                        roundBudget,
                        idleBeforeReturn,
                        spareShare,
                        silentBeforeReturn,
                        speedFirst);
            case "membership-lease-s" ->
                new Operator(
                        lateThreshold,
                        lateMinimumDone,
                        Duration.ofMillis((long) (number(name, text, 2, 60) * 1000)),
                        roundBudget,
                        idleBeforeReturn,
                        spareShare,
                        silentBeforeReturn,
                        speedFirst);
            case "round-budget-ms" ->
                new Operator(
                        lateThreshold,
                        lateMinimumDone,
                        membershipLease,
                        Duration.ofMillis((long) number(name, text, 1, 1000)),
                        idleBeforeReturn,
                        spareShare,
                        silentBeforeReturn,
                        speedFirst);
            case "idle-before-return-s" ->
                new Operator(
                        lateThreshold,
                        lateMinimumDone,
                        membershipLease,
                        roundBudget,
                        Duration.ofMillis((long) (number(name, text, 0, 86_400) * 1000)),
                        spareShare,
                        silentBeforeReturn,
                        speedFirst);
            case "spare-share" ->
                new Operator(
                        lateThreshold,
                        lateMinimumDone,
                        membershipLease,
                        roundBudget,
                        idleBeforeReturn,
                        number(name, text, 0, 10),
                        silentBeforeReturn,
                        speedFirst);
            case "silent-before-return-s" ->
                new Operator(
                        lateThreshold,
                        lateMinimumDone,
                        membershipLease,
                        roundBudget,
                        idleBeforeReturn,
                        spareShare,
                        Duration.ofMillis((long) (number(name, text, 5, 3600) * 1000)),
                        speedFirst);
            case "speed-first" ->
                new Operator(
                        lateThreshold,
                        lateMinimumDone,
                        membershipLease,
                        roundBudget,
                        idleBeforeReturn,
                        spareShare,
                        silentBeforeReturn,
                        speedFirst(name, text));
            default -> this;
        };
    }

    private static SpeedFirst speedFirst(String name, String text) throws BadSetting {
        for (SpeedFirst s : SpeedFirst.values()) {
            if (s.name().toLowerCase(Locale.ROOT).equals(text)) {
                return s;
            }
        }
        throw new BadSetting("<" + name + ">: '" + text + "' is none of unmetered, always, never");
    }

    private static double number(String name, String text, double least, double most) throws BadSetting {
        try {
            double d = Double.parseDouble(text);
            if (d >= least && d <= most) {
                return d;
            }
        } catch (NumberFormatException e) {
            // told below, together with what would be allowed
        }
        throw new BadSetting("<" + name + ">: '" + text + "' is not a number from " + least + " to " + most);
    }
}
