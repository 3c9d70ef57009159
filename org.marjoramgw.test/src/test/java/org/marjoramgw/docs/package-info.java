/**
 * Tests that the pages of the documentation match the code.
 */
package org.marjoramgw.docs;
