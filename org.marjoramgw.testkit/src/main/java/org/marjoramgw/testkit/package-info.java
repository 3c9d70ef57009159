/**
 * Seeds and the list of known failures, shared by the test modules.
 */
package org.marjoramgw.testkit;
