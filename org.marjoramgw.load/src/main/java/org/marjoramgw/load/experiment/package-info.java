/**
 * Descriptions of experiments, series and the deployments that they run on.
 */
package org.marjoramgw.load.experiment;
