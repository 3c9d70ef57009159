/**
 * Values that the tests share.
 */
package org.marjoramgw.direct;
