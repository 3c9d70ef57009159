/**
 * Following of topics that others write: what is in force, and how fresh that knowledge
 * is.
 */
package org.marjoramgw.direct.follow;
