package org.havenford.storage;

/**
 * Limits that the store enforces for all controllers together.
 *
 * @param requestsPerSecond requests a second
 * @param writesPerSecond operations of transactions a second
 * @param nextWritesPerSecond what the limit of operations may become without notice
 */
public record StoreLimits(double requestsPerSecond, double writesPerSecond, double nextWritesPerSecond) {}
