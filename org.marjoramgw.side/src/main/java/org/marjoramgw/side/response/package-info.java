/**
 * Buffers that retain responses until their entry has acknowledged them.
 */
package org.marjoramgw.side.response;
