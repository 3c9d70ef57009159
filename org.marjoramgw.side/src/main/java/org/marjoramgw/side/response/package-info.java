/**
 * Answers that are kept until their entry has them.
 */
package org.marjoramgw.side.response;
