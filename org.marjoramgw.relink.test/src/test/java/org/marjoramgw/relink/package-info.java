/**
 * Tests of the build step that rewrites libraries.
 */
package org.marjoramgw.relink;
