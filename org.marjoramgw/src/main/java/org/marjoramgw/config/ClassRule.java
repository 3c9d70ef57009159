package org.marjoramgw.config;

/**
 * Rule that gives a request its class when it names none; the first match counts.
 *
 * @param account name of the account, or {@code *}
 * @param pathPrefix prefix of the request's path, for example
 * {@code /v1/services/orders/}
 * @param requestClass name of the class
 * @author The marjoramgw authors
 */
public record ClassRule(String account, String pathPrefix, String requestClass) {

	/** Account name that matches every account. */
	public static final String ANY_ACCOUNT = "*";

	/**
	 * Tells whether the rule applies.
	 * @param accountName name of the client account
	 * @param path path of the request
	 * @return whether it applies
	 */
	public boolean matches(String accountName, String path) {
		boolean sameAccount = ANY_ACCOUNT.equals(this.account) || this.account.equals(accountName);
		return sameAccount && path.startsWith(this.pathPrefix);
	}

}
