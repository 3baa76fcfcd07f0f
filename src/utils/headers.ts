/** Functions on raw header lists: names and values alternate, in the order and spelling received. */
import { parseNonNegativeNumber } from "./numbers.js";

/** Hop-by-hop headers, which are never forwarded. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

const namePattern = /^[\w!#$%&'*+.^`|~-]+$/;

/** Whether each header has a valid name. Node also receives empty names and names with spaces, and throws when it sends them. */
export const haveValidNames = (headers: readonly string[]): boolean => {
    for (let index = 0; index < headers.length; index += 2) {
        if (!namePattern.test(headers[index]!)) {
            return false;
        }
    }
    return true;
};

/** Value of the first header called `name` (in lower case), or undefined. */
export const headerValue = (headers: readonly string[], name: string): string | undefined => {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]!.toLowerCase() === name) {
            return headers[index + 1];
        }
    }
    return undefined;
};

/** Number of headers called `name` (in lower case). */
export const headerCount = (headers: readonly string[], name: string): number => {
    let count = 0;
    for (let index = 0; index < headers.length; index += 2) {
        count += headers[index]!.toLowerCase() === name ? 1 : 0;
    }
    return count;
};

/** Headers that may be forwarded to the next hop, without those in `dropped` (in lower case). */
export const endToEndHeaders = (headers: readonly string[], dropped: ReadonlySet<string>): string[] => {
    const namesInConnectionHeader = headersNamedByConnection(headers);
    const kept: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        if (!connectionHeaders.has(name) && !dropped.has(name) && !namesInConnectionHeader.has(name)) {
            kept.push(headers[index]!, headers[index + 1]!);
        }
    }
    return kept;
};

/** Size of the headers on the wire, including separators and line ends. */
export const headerBytes = (headers: readonly string[]): number => {
    const separatorBytes = 2;
    return headers.reduce((sum, text) => sum + Buffer.byteLength(text, "latin1") + separatorBytes, 0);
};

/** Headers that the Connection header marks as hop-by-hop. */
const headersNamedByConnection = (headers: readonly string[]): Set<string> => {
    const names = new Set<string>();
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]!.toLowerCase() === "connection") {
            headers[index + 1]!.split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
};

/** Parses the value of a header that holds a number of at least 0; undefined where there is none. */
export const parseNumberHeader = (text: string | undefined): number | undefined =>
    text === undefined ? undefined : parseNonNegativeNumber(text.trim());
