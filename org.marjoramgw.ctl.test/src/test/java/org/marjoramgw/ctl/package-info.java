/**
 * Tests of the operators' commands against stand-ins of the platform.
 */
package org.marjoramgw.ctl;
