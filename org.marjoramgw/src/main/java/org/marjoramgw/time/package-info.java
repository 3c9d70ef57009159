/**
 * Ages that stay right when a VM sleeps or its time of day is changed.
 */
package org.marjoramgw.time;
