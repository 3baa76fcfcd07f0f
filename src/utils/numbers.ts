/** Parses numbers that other programs have formatted. */

const decimalPattern = /^\d+(\.\d+)?(e[+-]?\d{1,3})?$/i;

/**
 * Parses a decimal number of at least 0, or returns undefined if `text` is not one or exceeds the range of a number. Other
 * programs write the shortest form of a fraction, so up to seventeen digits and an exponent are accepted.
 */
export const parseNonNegativeNumber = (text: string): number | undefined => {
    const value = decimalPattern.test(text) ? Number(text) : NaN;
    return Number.isFinite(value) ? value : undefined;
};
