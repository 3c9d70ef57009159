/**
 * Measurements of what one process costs as its peers, queues and keys grow.
 */
package org.marjoramgw.load.capacity;
