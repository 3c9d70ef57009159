/**
 * Descriptions of experiments and of the deployments that they run on.
 */
package org.marjoramgw.load.experiment;
