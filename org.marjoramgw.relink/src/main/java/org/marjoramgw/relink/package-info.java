/**
 * Build step that rewrites library JARs so that the classes of their lambdas can be
 * stored in a class data sharing (CDS) archive.
 */
package org.marjoramgw.relink;
