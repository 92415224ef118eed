/**
 * Agents on the machines: heartbeats, commands, and reconciliation of claims with what agents report.
 *
 * <p>It owns what is known of each agent and the outcomes of attempts that are not yet stored. Called by scheduling,
 * provisioning, failover and the controller.
 */
package org.havenford.coordination.agents;
