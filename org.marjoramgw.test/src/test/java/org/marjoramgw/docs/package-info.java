/**
 * Tests that the documentation agrees with the code.
 */
package org.marjoramgw.docs;
