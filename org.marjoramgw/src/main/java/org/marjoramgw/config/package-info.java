/**
 * Configuration published by operators: parsing, publishing and distribution through the
 * log.
 */
package org.marjoramgw.config;
