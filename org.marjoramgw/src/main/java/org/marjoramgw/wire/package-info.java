/**
 * Messages between entry and side processes and their MessagePack codec.
 */
package org.marjoramgw.wire;
