package org.marjoramgw.relink.internal;

/**
 * Content of an entry of a JAR after its lambdas were changed.
 *
 * @param bytes the content
 * @param relinked number of lambdas that were changed
 * @author The marjoramgw authors
 */
public record RelinkedClass(byte[] bytes, int relinked) {

}
