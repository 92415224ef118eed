/**
 * Limits of teams that hold across all controllers: accounts, the rules by which they are used, given and rebuilt. Pure: it
 * knows neither the state service nor the clock. Design and proof: docs/limits.md.
 */
package org.havenford.quota;
