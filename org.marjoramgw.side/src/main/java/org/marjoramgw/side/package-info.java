/**
 * Side process: runs next to each backend server and schedules its requests.
 */
package org.marjoramgw.side;
