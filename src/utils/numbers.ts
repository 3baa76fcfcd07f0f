/** Numbers as other programs write them. */

const decimal = /^\d+(\.\d+)?(e[+-]?\d{1,3})?$/i;

/**
 * A number of at least 0, whatever its digits: other programs write the shortest form of a fraction, with up to seventeen
 * digits or an exponent. Undefined where `text` is none, or too large for a number.
 */
export const nonNegative = (text: string): number | undefined => {
    const value = decimal.test(text) ? Number(text) : NaN;
    return Number.isFinite(value) ? value : undefined;
};
