/**
 * Build step that rewrites library JARs so that their lambdas can be kept in a class data
 * sharing archive.
 */
package org.marjoramgw.relink;
