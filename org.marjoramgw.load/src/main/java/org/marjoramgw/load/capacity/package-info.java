/**
 * Measurements of the resource usage of one process as its peers, queues and keys grow.
 */
package org.marjoramgw.load.capacity;
