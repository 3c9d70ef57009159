/**
 * Tests of the operators' commands against stand-ins of the platform services.
 */
package org.marjoramgw.ctl;
