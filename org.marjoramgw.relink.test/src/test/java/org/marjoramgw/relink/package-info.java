/**
 * Tests of the build step that rewrites library JARs.
 */
package org.marjoramgw.relink;
