/** Reads and writes JSON as plain maps and lists, for the codecs. Uses no other package. */
package gladeknot.json;
