/**
 * Test rig that starts real processes of a deployment on loopback, with stand-ins for the
 * platform and a fault proxy between them.
 */
package org.marjoramgw.rig;
