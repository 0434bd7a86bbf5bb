package sqlscan

import "testing"

// TestGroup: the group is that of the first table read or written, outside comments and quoted strings.
func TestGroup(t *testing.T) {
	for text, want := range map[string]int{
		"SELECT a FROM sales_17.orders WHERE b = 1":                                                       17,
		"SELECT id -- was: from mart_1.old\nFROM lake_4.orders WHERE tag = 'x'":                           4,
		"select a.id, 'from lake_3.decoy' as note from mart_6.stock a":                                    6,
		"merge into sales_2.events d using staging.delta s on d.id = s.id when matched then update set n": 2,
		"insert into ops_0.t select * from staging_9.delta":                                               0,
		"/* from x_5.y */ update \"Lake_8\".\"t\" set a = 1":                                              8,
		"WITH w AS (SELECT * FROM lake_10.visits) SELECT id FROM w":                                       10,
		"select t_3.a from sales_12.b t_3":                                                                12,
		"select $$ from q_7.r $$, x from lake_1.y":                                                        1,
		"copy mart_14.t from stdin":                                                                       14,
		"select 1":                                                                                        0,
	} {
		if got := Group(text); got != want {
			t.Errorf("%s: group %d, want %d", text, got, want)
		}
	}
}
