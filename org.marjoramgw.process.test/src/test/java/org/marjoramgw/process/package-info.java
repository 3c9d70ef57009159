/**
 * Proofs with real processes behind the fault proxy.
 */
package org.marjoramgw.process;
