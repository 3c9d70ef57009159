/**
 * Tests of the adapter to the users' platform.
 */
package org.marjoramgw.platform;
