/**
 * Test rig that runs the real processes of a deployment on loopback, with stand-ins for
 * the platform and a fault-injecting proxy between them.
 */
package org.marjoramgw.rig;
