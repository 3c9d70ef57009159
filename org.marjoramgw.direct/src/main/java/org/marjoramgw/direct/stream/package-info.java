/**
 * Shares through the store at which software version each stream began, so that every
 * process lets it go on at that version only.
 */
package org.marjoramgw.direct.stream;
