package org.marjoramgw.relink.internal;

/**
 * Content of a JAR entry after its lambdas were changed.
 *
 * @param bytes the content
 * @param relinkedCount number of lambdas that were changed
 * @author The marjoramgw authors
 */
public record RelinkedEntry(byte[] bytes, int relinkedCount) {

}
