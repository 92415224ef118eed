/** Command line of the controller. */
package org.havenford;
