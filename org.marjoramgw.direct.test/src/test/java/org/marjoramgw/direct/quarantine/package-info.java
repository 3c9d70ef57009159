/**
 * Tests of the sharing of crash reports and verdicts.
 */
package org.marjoramgw.direct.quarantine;
