package org.havenford.coordination.scheduling;

/**
 * Limit of the task ranges that are planned for a controller; it could not claim more until its next plan.
 *
 * @param controller name of the planning controller
 * @param maxTaskRanges maximum number of task ranges planned for it in one plan
 */
record ClaimQuota(String controller, int maxTaskRanges) {}
