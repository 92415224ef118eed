/** Command line of the controller, and the warm-up run of the build. */
package org.havenford;
