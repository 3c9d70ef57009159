/**
 * Side process: the program beside each backend server.
 */
package org.marjoramgw.side;
