/**
 * Rewriting of JARs and of the classes in them.
 */
package org.marjoramgw.relink.internal;
