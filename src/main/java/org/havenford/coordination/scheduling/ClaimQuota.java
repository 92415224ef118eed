package org.havenford.coordination.scheduling;

/**
 * How many task range records a controller can claim from now; what is planned for it beyond that would be in vain.
 *
 * @param controller name of the planning controller
 * @param maxTaskRanges records that it can claim at most until its next plan
 */
record ClaimQuota(String controller, int maxTaskRanges) {}
