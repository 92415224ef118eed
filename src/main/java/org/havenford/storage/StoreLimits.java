package org.havenford.storage;

/**
 * Rate limits that the store enforces on all controllers together.
 *
 * @param requestsPerSecond limit of requests per second
 * @param writesPerSecond limit of transaction operations per second
 * @param nextWritesPerSecond limit of transaction operations per second to which the store may switch without notice
 */
public record StoreLimits(double requestsPerSecond, double writesPerSecond, double nextWritesPerSecond) {}
