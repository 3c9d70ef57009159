package org.marjoramgw.config;

/**
 * Rule that assigns a class to requests that name none; the first matching rule applies.
 *
 * @param account name of the account, or {@code *} for any account
 * @param pathPrefix prefix of the request's path, for example
 * {@code /v1/services/orders/}
 * @param requestClass name of the request class
 * @author The marjoramgw authors
 */
public record ClassRule(String account, String pathPrefix, String requestClass) {

	/** Account name that matches every account. */
	public static final String ANY_ACCOUNT = "*";

	/**
	 * Tells whether the rule matches a request.
	 * @param accountName name of the client account
	 * @param path path of the request
	 * @return whether it matches
	 */
	public boolean matches(String accountName, String path) {
		boolean sameAccount = ANY_ACCOUNT.equals(this.account) || this.account.equals(accountName);
		return sameAccount && path.startsWith(this.pathPrefix);
	}

}
