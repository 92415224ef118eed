package org.havenford.quota;

/** An amount of CPUs and cards. */
public record Amount(double cpus, double cards) {
    public static final Amount NONE = new Amount(0, 0);
    /** Stands for no limit, and leaves room for sums. */
    public static final double UNLIMITED = Double.MAX_VALUE / 4;

    private static final double GRAIN = 1e-6;

    /** The sum. */
    public Amount plus(Amount o) {
        return new Amount(cpus + o.cpus, cards + o.cards);
    }

    /** The difference. */
    public Amount minus(Amount o) {
        return new Amount(cpus - o.cpus, cards - o.cards);
    }

    /** A multiple. */
    public Amount times(double n) {
        return new Amount(cpus * n, cards * n);
    }

    /** The smaller of both in each part. */
    public Amount least(Amount o) {
        return new Amount(Math.min(cpus, o.cpus), Math.min(cards, o.cards));
    }

    /** The larger of both in each part. */
    public Amount most(Amount o) {
        return new Amount(Math.max(cpus, o.cpus), Math.max(cards, o.cards));
    }

    /** Whether no part exceeds the other's. */
    public boolean within(Amount o) {
        return cpus <= o.cpus + GRAIN && cards <= o.cards + GRAIN;
    }
}
