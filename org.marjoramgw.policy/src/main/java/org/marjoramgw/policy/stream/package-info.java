/**
 * Which software versions of a service a stream may begin at and go on at.
 */
package org.marjoramgw.policy.stream;
