/**
 * Command-line tool for operators, with one class per subcommand.
 */
package org.marjoramgw.ctl;
