/** HTTP statuses that several modules need. */

/** The request reached another endpoint than it was meant for, and was not run. */
export const misdirectedRequestStatus = 421;
