/**
 * Management of the agents on the machines: heartbeats, commands, and reconciliation of claims with reported attempts.
 *
 * <p>The package holds the state of each agent, and the outcomes of attempts that are not stored yet. It is used by
 * scheduling, provisioning, failover and the controller.
 */
package org.havenford.coordination.agents;
