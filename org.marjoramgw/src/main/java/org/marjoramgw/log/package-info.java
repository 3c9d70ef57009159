/**
 * The platform's append-only log service.
 */
package org.marjoramgw.log;
