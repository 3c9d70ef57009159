/**
 * Rewrites JARs and the class files in them.
 */
package org.marjoramgw.relink.internal;
