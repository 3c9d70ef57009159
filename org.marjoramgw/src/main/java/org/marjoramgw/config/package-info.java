/**
 * The operators' configuration as immutable values.
 */
package org.marjoramgw.config;
