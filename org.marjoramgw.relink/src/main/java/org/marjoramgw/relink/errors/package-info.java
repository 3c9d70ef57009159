/**
 * Exceptions of the build step.
 */
package org.marjoramgw.relink.errors;
